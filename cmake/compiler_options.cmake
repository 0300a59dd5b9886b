add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion)

option(LYCHEEGAP_CHECK_LOCK_RANKS "Abort when a thread acquires locks out of rank order" OFF)
set(LYCHEEGAP_SANITIZER "" CACHE STRING "Sanitizer: address,undefined or thread; empty for none")

if(LYCHEEGAP_SANITIZER)
    # With full optimization and a sanitizer, compiling the generated code takes minutes.
    set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")
    add_compile_options(-fsanitize=${LYCHEEGAP_SANITIZER} -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${LYCHEEGAP_SANITIZER})
endif()
if(LYCHEEGAP_CHECK_LOCK_RANKS OR LYCHEEGAP_SANITIZER OR CMAKE_BUILD_TYPE STREQUAL "Debug")
    add_compile_definitions(LYCHEEGAP_CHECK_LOCK_RANKS)
endif()
