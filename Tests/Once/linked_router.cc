// A host as wasabi_router runs it on the platform, but it reaches endpoints by
// links of its own, which a test can cut.

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <utility>

#include "LibCore/signal_clock.h"
#include "Services/Forwarder/forwarder_daemon.h"
#include "Tests/Support/ForwarderFixture/linked_records.h"
#include "platform/adapters.h"

DEFINE_string(settings, "", "path of the INI settings file");
DEFINE_string(links,
              "",
              "path of a file with a line \"ENDPOINT IP:PORT\" for each link");

namespace wasabi::once {
namespace {

support::EndpointLinkMap LoadLinks(const std::string& path) {
  support::EndpointLinkMap links;
  std::ifstream file(path);
  std::string endpoint;
  std::string address;
  while (file >> endpoint >> address) {
    const auto parsed = core::SocketAddress::Parse(address);
    if (parsed.ok()) {
      links[endpoint] = *parsed;
    }
  }
  return links;
}

int Run() {
  const auto settings = forwarder::LoadForwarderSettings(FLAGS_settings);
  if (!settings.ok()) {
    return 2;
  }
  const support::EndpointLinkMap links = LoadLinks(FLAGS_links);
  core::EventLoop loop;
  std::unique_ptr<forwarder::ForwarderDaemon> daemon;
  const core::SignalClock signal_clock(&loop);
  loop.OnSignal(SIGTERM, [&daemon, &signal_clock] {
    daemon->BeginShutdown(signal_clock.received_after());
  });
  auto created = forwarder::ForwarderDaemon::Create(
      &loop, *settings, FLAGS_settings,
      [&links](http::Client* client, const core::SocketAddress& address,
               core::EventRing* events) {
        forwarding::AdapterSet adapters =
            adapter::MakeAdapters(client, address, events);
        adapters.records = std::make_unique<support::LinkedRecords>(
            std::move(adapters.records), &links);
        return adapters;
      });
  if (!created.ok()) {
    return 3;
  }
  daemon = *std::move(created);
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace wasabi::once

int main(int argc, char** argv) {
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wasabi::once::Run();
}
