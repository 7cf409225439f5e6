// fault_proxy: relays TCP and UDP on loopback and injects seeded faults.

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/FaultProxy/proxy_server.h"

DEFINE_string(control,
              "127.0.0.1:9900",
              "IP address and port of the HTTP control port");
DEFINE_string(links,
              "",
              "comma-separated links, each NAME=tcp:IP:PORT>IP:PORT or "
              "NAME=udp:IP:PORT>IP:PORT");
DEFINE_int64(seed, 1, "seed of the first link for drops and duplicates");

namespace wasabi::support {
namespace {

absl::Status RunProxy() {
  TRY_ASSIGN(const core::SocketAddress control,
             core::SocketAddress::Parse(FLAGS_control));
  std::vector<LinkSpec> links;
  for (const std::string& text : core::SplitList(FLAGS_links)) {
    TRY_ASSIGN(const LinkSpec link, LinkSpec::Parse(text));
    links.push_back(link);
  }
  core::EventLoop loop;
  TRY_ASSIGN(const std::unique_ptr<ProxyServer> proxy,
             ProxyServer::Create(&loop, control, links,
                                 static_cast<uint64_t>(FLAGS_seed)));
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return absl::OkStatus();
}

}  // namespace
}  // namespace wasabi::support

int main(int argc, char** argv) {
  // Writing to a connection that the peer has closed must not kill the process.
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage("proxy that injects faults into TCP and UDP links");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::Status status = wasabi::support::RunProxy();
  if (!status.ok()) {
    std::cerr << wasabi::core::MessageOf(status) << "\n";
    return static_cast<int>(wasabi::core::CodeOf(status)) % 256;
  }
  return 0;
}
