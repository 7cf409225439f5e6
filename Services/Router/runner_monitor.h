// Polls the load report of one runner that this host owns.

#ifndef SERVICES_ROUTER_RUNNER_MONITOR_H_
#define SERVICES_ROUTER_RUNNER_MONITOR_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibHttp/client.h"

namespace wasabi::router {

// Load reported by an endpoint. The values lag behind its actual load.
struct LoadReport {
  // Number of requests that run and that wait.
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t outstanding_tokens = 0;
  bool is_leaving = false;
  // Age of the reported values.
  core::Duration age{};

  auto operator<=>(const LoadReport&) const = default;
};

// Polls GET /v1/load periodically. Every poll opens a new connection, so that a
// response proves that new connections work even if existing ones have gone
// silent.
class RunnerMonitor {
 public:
  using ReportCallback = std::function<void(const LoadReport&)>;
  // `is_refused` is true if nothing listens at the endpoint's address
  // (kPeerUnreachable).
  using FailureCallback = std::function<void(bool is_refused)>;

  // Starts polling at once, then every `period` after each response. `loop` and
  // `client` must outlive the monitor. No callback runs after the monitor is
  // destroyed.
  RunnerMonitor(core::EventLoop* loop,
                http::Client* client,
                core::SocketAddress address,
                core::Duration period,
                ReportCallback on_report,
                FailureCallback on_failure);
  ~RunnerMonitor();
  RunnerMonitor(const RunnerMonitor&) = delete;
  RunnerMonitor& operator=(const RunnerMonitor&) = delete;

  // Polls at once, in addition to the periodic polls. Runs `callback` with
  // whether the endpoint responded.
  void Probe(std::function<void(bool is_alive)> callback);

  // Returns the time of the last response with any HTTP status.
  core::TimePoint last_answer() const { return last_answer_; }

 private:
  void Poll();
  void OnAnswer(const absl::StatusOr<http::ClientResponse>& response);
  http::ClientRequest PollRequest() const;

  core::EventLoop* loop_;
  http::Client* client_;
  core::SocketAddress address_;
  core::Duration period_;
  ReportCallback on_report_;
  FailureCallback on_failure_;
  core::TimePoint last_answer_;
  std::unique_ptr<core::Timer> timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_RUNNER_MONITOR_H_
