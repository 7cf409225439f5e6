// One host under test: a real wasabi_router process, its way to the store, and
// the signals that it gets.

#ifndef TESTS_SOAK_ROUTER_PROCESS_H_
#define TESTS_SOAK_ROUTER_PROCESS_H_

#include <cstddef>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "Tests/Soak/history.h"
#include "Tests/Soak/soak_options.h"
#include "Tests/Support/FaultProxy/tcp_relay.h"
#include "Tests/Support/Fleet/child_process.h"
#include "Tests/Support/PlatformStore/store_server.h"

namespace wasabi::soak {

// The ports that every host uses on its own IP number.
struct HostPorts {
  uint16_t callers = 0;
  uint16_t ready = 0;
  uint16_t discovery = 0;
  uint16_t gossip = 0;
  uint16_t internal = 0;
};

HostPorts FreeHostPorts();

class RouterProcess {
 public:
  // Starts the process. `history` takes what happens to it; `loop`, `log` and
  // `history` must outlive the host.
  static absl::StatusOr<std::unique_ptr<RouterProcess>> Create(
      core::EventLoop* loop,
      const SoakOptions& options,
      size_t index,
      const HostPorts& ports,
      support::WatchedLog* log,
      History* history);

  // SIGTERM; the process starts again once it has ended.
  void Stop();
  void Kill();
  // SIGSTOP, and SIGCONT after `duration`.
  void Pause(core::Duration duration);
  void Reload();

  // To be called often: reaps the process, kills one that overstays its grace,
  // and starts it again.
  void Poll();

  // The way to the store, and the store's address for this host alone.
  support::LinkFaults* store_faults() { return &store_faults_; }
  support::TcpRelay* store_relay() { return store_relay_.get(); }
  support::StoreServer* store() { return store_.get(); }

  size_t index() const { return index_; }
  core::SocketAddress callers_address() const;
  core::SocketAddress discovery_address() const;

 private:
  RouterProcess(core::EventLoop* loop,
                const SoakOptions& options,
                size_t index,
                const HostPorts& ports,
                History* history);

  absl::Status OpenStore(support::WatchedLog* log);
  absl::Status WriteSettings(const core::SocketAddress& store) const;
  absl::Status Start();
  core::SocketAddress At(uint16_t port) const;
  std::string SettingsPath() const;
  // A disturbance of this host that goes on until its end is known.
  void BeginDisturbance(bool is_planned);

  core::EventLoop* const loop_;
  const SoakOptions& options_;
  const size_t index_;
  const HostPorts ports_;
  History* const history_;
  support::LinkFaults store_faults_;
  std::unique_ptr<support::StoreServer> store_;
  std::unique_ptr<support::TcpRelay> store_relay_;
  std::unique_ptr<support::ChildProcess> process_;
  std::shared_ptr<Disturbance> disturbance_;
  bool is_ending_ = false;
  core::TimePoint kill_at_{};
  core::TimePoint start_at_{};
  core::TimePoint resume_at_{};
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_ROUTER_PROCESS_H_
