// Polls the load report of one endpoint that this host owns.

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

// An endpoint's own report; it lags behind the truth.
struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t outstanding_tokens = 0;
  bool is_leaving = false;
  // How old the report's figures are.
  core::Duration age{};

  auto operator<=>(const LoadReport&) const = default;
};

// Every poll uses a connection of its own, so that an answer proves that new
// connections work even where old ones have gone silent.
class RunnerMonitor {
 public:
  using ReportCallback = std::function<void(const LoadReport&)>;
  // `is_refused` is true where nothing listens at the endpoint's address.
  using FailureCallback = std::function<void(bool is_refused)>;

  RunnerMonitor(core::EventLoop* loop,
                http::Client* client,
                core::SocketAddress address,
                core::Duration period,
                ReportCallback on_report,
                FailureCallback on_failure);
  ~RunnerMonitor();
  RunnerMonitor(const RunnerMonitor&) = delete;
  RunnerMonitor& operator=(const RunnerMonitor&) = delete;

  // Polls now, besides the periodic polls. `callback` hears whether the
  // endpoint answered.
  void Probe(std::function<void(bool is_alive)> callback);

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
