# Plots the latency percentiles of both deployments from bench.csv in the folder `folder` to bench.png there.
set datafile separator ","
set terminal pngcairo size 900,500
set output folder."/bench.png"
set title "Latency of teams inside their rate"
set ylabel "ms"
set yrange [0:*]
set style data histogram
set style histogram clustered gap 1
set style fill solid 0.7
rows(name) = sprintf("< grep '^%s,latency' '%s/bench.csv' | sed 's/, teams inside their rate//; s/latency //'", name, folder)
plot rows("bolgevagt") using 3:xtic(2) title "bolgevagt", rows("censo_forestal") using 3 title "censo forestal"
