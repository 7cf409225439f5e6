// Runs one host under test as a wasabi_router process: starts and restarts it,
// sends it signals, and controls the faults of its link to the store.

#ifndef TESTS_SOAK_ROUTER_PROCESS_H_
#define TESTS_SOAK_ROUTER_PROCESS_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "Tests/Soak/history.h"
#include "Tests/Soak/soak_options.h"
#include "Tests/Support/FaultProxy/tcp_relay.h"
#include "Tests/Support/Fleet/child_process.h"
#include "Tests/Support/PlatformStore/store_server.h"

namespace wasabi::soak {

// The port numbers that all hosts use, each on its own IP address.
struct HostPorts {
  uint16_t callers = 0;
  uint16_t ready = 0;
  uint16_t discovery = 0;
  uint16_t gossip = 0;
  uint16_t internal = 0;
};

// Returns ports that are free on the IP address of the first host.
HostPorts FreeHostPorts();

class RouterProcess {
 public:
  // Starts the process. Disturbances and crashes are recorded in `history`.
  // `loop`, `options`, `log` and `history` must outlive the host.
  static absl::StatusOr<std::unique_ptr<RouterProcess>> Create(
      core::EventLoop* loop,
      const SoakOptions& options,
      size_t index,
      const HostPorts& ports,
      support::WatchedLog* log,
      History* history);

  // Sends SIGTERM. The process is restarted after it has exited.
  void Stop();
  // Sends SIGTERM once more if the process is stopping.
  void RepeatStopSignal();
  // Stops the process, once, this long after it has been started again.
  void StopAgainAfter(core::Duration delay) { stop_again_after_ = delay; }
  // Sends SIGKILL. The process is restarted after it has exited.
  void Kill();
  // Sends SIGSTOP, and SIGCONT after `duration`.
  void Pause(core::Duration duration);
  // Sends SIGHUP.
  void Reload();

  // Reaps the process, kills it when it exceeds its shutdown grace period, and
  // restarts it. Must be called frequently.
  void Poll();

  // The faults and the relay of the link to the store, and the store server
  // that only this host uses.
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
  // States that the whole fleet starts for the first time until this host has
  // started.
  absl::Status WriteSettings() const;
  absl::Status Start();
  core::SocketAddress At(uint16_t port) const;
  std::string SettingsPath() const;
  // Records a disturbance of this host. Its end is set when the host has
  // recovered.
  void BeginDisturbance(bool is_planned);

  core::EventLoop* const loop_;
  const SoakOptions& options_;
  const size_t index_;
  const HostPorts ports_;
  History* const history_;
  support::LinkFaults store_faults_;
  std::unique_ptr<support::StoreServer> store_;
  std::unique_ptr<support::TcpRelay> store_relay_;
  core::SocketAddress store_address_;
  std::unique_ptr<support::ChildProcess> process_;
  std::shared_ptr<Disturbance> disturbance_;
  bool is_terminating_ = false;
  bool has_started_ = false;
  core::TimePoint kill_at_{};
  core::TimePoint start_at_{};
  core::TimePoint resume_at_{};
  std::optional<core::Duration> stop_again_after_;
  core::TimePoint stop_at_{};
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_ROUTER_PROCESS_H_
