// wasabi_control: the daemon that serves operators. This file parses the
// command line, loads the settings and runs the daemon.

#include <gflags/gflags.h>
#include <signal.h>

#include <iostream>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/log.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Services/Control/control_daemon.h"
#include "Services/Control/control_settings.h"

DEFINE_string(settings, "", "path of the INI file with the settings");
DEFINE_bool(check_settings, false, "check the settings and exit");

namespace wasabi::control {
namespace {

constexpr const char* kUsage =
    "the control daemon of a wasabifork fleet\n\n"
    "  wasabi_control --settings=FILE\n\n"
    "It serves the intent API to wasabictl, follows the configuration in the\n"
    "platform's log, appends snapshots to it, and sends orders to endpoints.\n"
    "SIGTERM shuts it down gracefully. The exit status is 0, or the number of\n"
    "a result code of docs/RESULT_CODES.md modulo 256.";

absl::Status Run() {
  if (FLAGS_settings.empty()) {
    return core::MakeStatus(core::ResultCode::kUsage, "--settings is missing");
  }
  TRY_ASSIGN(const ControlSettings settings,
             LoadControlSettings(FLAGS_settings));
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": the settings are valid\n";
    return absl::OkStatus();
  }
  core::SetLogLevel(settings.log_level);
  core::EventLoop loop;
  TRY_ASSIGN(const std::unique_ptr<ControlDaemon> daemon,
             ControlDaemon::Create(&loop, settings));
  loop.OnSignal(SIGTERM, [&daemon] { daemon->BeginStop(); });
  loop.OnSignal(SIGINT, [&daemon] { daemon->BeginStop(); });
  std::cout << "listening on " << settings.http_address.ToString() << std::endl;
  loop.Run();
  return absl::OkStatus();
}

}  // namespace
}  // namespace wasabi::control

int main(int argc, char** argv) {
  gflags::SetUsageMessage(wasabi::control::kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::Status status = wasabi::control::Run();
  if (status.ok()) {
    return 0;
  }
  const int code = static_cast<int>(wasabi::core::CodeOf(status));
  std::cerr << "wasabi_control: " << wasabi::core::MessageOf(status)
            << " (code " << code << ")\n";
  constexpr int kExitStatuses = 256;
  return code % kExitStatuses;
}
