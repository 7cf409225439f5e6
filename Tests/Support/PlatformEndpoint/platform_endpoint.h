// An endpoint by the platform's protocol: plain answers and event streams, with
// faults.

#ifndef TESTS_SUPPORT_PLATFORMENDPOINT_PLATFORM_ENDPOINT_H_
#define TESTS_SUPPORT_PLATFORMENDPOINT_PLATFORM_ENDPOINT_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibHttp/request_server.h"
#include "Tests/Support/PlatformEndpoint/endpoint_run.h"

namespace wasabi::support {

struct EndpointFaults {
  // Shares of the requests that it fails, runs without an answer, and cuts off
  // in the middle of an event.
  double failures = 0;
  double lost_answers = 0;
  double cut_answers = 0;
  // Added to the time that a request or an event takes.
  core::Duration delay = core::Duration::zero();

  auto operator<=>(const EndpointFaults&) const = default;
};

struct EndpointOptions {
  core::RunnerId id;
  core::PoolId pool;
  core::SocketAddress address;
  size_t slots = 8;
  uint64_t seed = 0;
};

class PlatformEndpoint {
 public:
  using RunPointer = std::shared_ptr<EndpointRun>;
  // Called when a request arrives; the run is filled in until it has ended.
  using RunObserver = std::function<void(const RunPointer& run)>;

  // Error: kCannotListen.
  static absl::StatusOr<std::unique_ptr<PlatformEndpoint>> Create(
      core::EventLoop* loop,
      const EndpointOptions& options,
      RunObserver observer);
  // Resets all connections; what ran is cut.
  ~PlatformEndpoint();
  PlatformEndpoint(const PlatformEndpoint&) = delete;
  PlatformEndpoint& operator=(const PlatformEndpoint&) = delete;

  void SetFaults(const EndpointFaults& faults) { faults_ = faults; }
  // Every answer from now on announces the end of its connection.
  void CloseAfterResponses() { server_->CloseAfterResponses(); }
  size_t running() const { return sessions_.size(); }
  const EndpointOptions& options() const { return options_; }

 private:
  using TransactionPointer = std::shared_ptr<http::Transaction>;
  // A request that runs.
  struct Session;
  using SessionPointer = std::shared_ptr<Session>;

  PlatformEndpoint(core::EventLoop* loop,
                   EndpointOptions options,
                   RunObserver observer);

  void OnRequest(const TransactionPointer& transaction);
  // True where the request was refused.
  bool Refuse(const TransactionPointer& transaction, EndpointRun* run);
  void StartSession(const TransactionPointer& transaction,
                    const RunPointer& run);
  void AnswerPlain(const SessionPointer& session);
  void StartEvents(const SessionPointer& session);
  void SendEvent(const SessionPointer& session);
  void End(const SessionPointer& session, RunEnd end);

  core::EventLoop* const loop_;
  const EndpointOptions options_;
  const RunObserver observer_;
  core::RandomSource random_;
  EndpointFaults faults_;
  std::set<SessionPointer> sessions_;
  std::unique_ptr<http::RequestServer> server_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMENDPOINT_PLATFORM_ENDPOINT_H_
