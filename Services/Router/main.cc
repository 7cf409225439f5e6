// wasabi_router: routes callers' requests to model engines and plain services.

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

#include "LibCore/log.h"
#include "LibCore/result_code.h"
#include "LibCore/settings.h"
#include "LibCore/signal_clock.h"
#include "LibCore/text.h"
#include "Services/Forwarder/forwarder_daemon.h"
#include "Services/Router/router.h"
#include "platform/adapters.h"

DEFINE_string(settings, "", "path of the INI settings file (docs/SETTINGS.md)");

namespace wasabi::router {
namespace {

// Exit statuses have only eight bits, so the result code is printed instead.
constexpr int kSettingsExit = 2;
constexpr int kStartExit = 3;

int ReportError(const absl::Status& status, int exit_status) {
  std::cerr << "wasabi_router: error " << static_cast<int>(core::CodeOf(status))
            << ": " << core::MessageOf(status) << "\n";
  return exit_status;
}

int RunRouter() {
  const absl::StatusOr<RouterSettings> settings =
      LoadRouterSettings(FLAGS_settings);
  if (!settings.ok()) {
    return ReportError(settings.status(), kSettingsExit);
  }
  core::SetLogLevel(settings->log_level);
  core::EventLoop loop;
  const absl::StatusOr<std::unique_ptr<Router>> router =
      Router::Create(&loop, *settings);
  if (!router.ok()) {
    return ReportError(router.status(), kStartExit);
  }
  const auto stop = [&router] { (*router)->BeginShutdown(); };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  loop.Run();
  return 0;
}

int RunForwarder() {
  const auto settings = forwarder::LoadForwarderSettings(FLAGS_settings);
  if (!settings.ok()) {
    return ReportError(settings.status(), kSettingsExit);
  }
  core::SetLogLevel(settings->log_level);
  core::EventLoop loop;
  std::unique_ptr<forwarder::ForwarderDaemon> daemon;
  // The handlers run in the loop, after the daemon was created. They are set
  // before it listens, since a signal without a handler would end the process
  // together with the connections that it has.
  const core::SignalClock signal_clock(&loop);
  const auto stop = [&daemon, &signal_clock] {
    daemon->BeginShutdown(signal_clock.received_after());
  };
  loop.OnSignal(SIGTERM, stop);
  loop.OnSignal(SIGINT, stop);
  loop.OnSignal(SIGHUP, [&daemon] { daemon->Reload(); });
  auto created = forwarder::ForwarderDaemon::Create(
      &loop, *settings, FLAGS_settings, adapter::MakeAdapters);
  if (!created.ok()) {
    return ReportError(created.status(), kStartExit);
  }
  daemon = *std::move(created);
  loop.Run();
  return 0;
}

// Returns true if the settings select the platform adapter.
bool UsesPlatformAdapter() {
  return core::PeekSetting(FLAGS_settings, "interface", "adapter") ==
         "platform";
}

}  // namespace
}  // namespace wasabi::router

int main(int argc, char** argv) {
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  // SIGHUP requests a reload of the settings; during startup it must not end
  // the process either.
  std::signal(SIGHUP, SIG_IGN);
  gflags::SetUsageMessage(
      "routes callers' requests to model engines and plain services\n"
      "  wasabi_router --settings=FILE\n"
      "SIGTERM begins a graceful shutdown. Exit status: 0 after a shutdown, "
      "2 invalid settings, 3 cannot start.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wasabi::router::UsesPlatformAdapter() ? wasabi::router::RunForwarder()
                                               : wasabi::router::RunRouter();
}
