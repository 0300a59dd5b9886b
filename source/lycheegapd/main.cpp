#include "core/common/log.h"
#include "core/common/process.h"
#include "core/host/host_state.h"
#include "core/settings/host_program.h"
#include "core/settings/ini_settings.h"

namespace {

namespace common = lycheegap::common;
namespace host = lycheegap::host;
namespace settings = lycheegap::settings;

constexpr const char* program_name = "lycheegapd";

bool are_settings_valid(const std::string& file) {
    return settings::load_settings(file).has_value();
}

bool run(const std::string& file) {
    auto loaded = settings::load_settings(file);
    if (!loaded) {
        return false;
    }
    common::start_log(program_name, loaded->process->log_level);
    const auto started = host::start_host(std::move(*loaded));
    if (!started) {
        return false;
    }
    common::wait_for_stop();
    host::stop_host(*started);
    return true;
}

} // namespace

int main(int argc, char** argv) {
    return settings::run_host_program({program_name, "an entry host of lycheegap", &are_settings_valid,
                                       &settings::settings_reference, &run},
                                      argc, argv);
}
