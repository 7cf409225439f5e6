// A fake endpoint that implements the platform's protocol: it serves plain
// answers and event streams, and injects faults.

#ifndef TESTS_SUPPORT_PLATFORMENDPOINT_PLATFORM_ENDPOINT_H_
#define TESTS_SUPPORT_PLATFORMENDPOINT_PLATFORM_ENDPOINT_H_

#include <compare>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibHttp/request_server.h"
#include "Tests/Support/PlatformEndpoint/endpoint_run.h"

namespace wasabi::support {

struct EndpointFaults {
  // Shares of the requests (0 to 1) that the endpoint fails, runs without
  // sending an answer, and cuts off in the middle of an event.
  double failures = 0;
  double lost_answer_share = 0;
  double cut_answer_share = 0;
  // Share of the requests that the endpoint refuses without running them, with
  // the request for a pause.
  double pause_share = 0;
  // Share of the answers that have neither a length nor chunks.
  double unframed_share = 0;
  // Share of the requests that get bytes that are no answer, without end, until
  // the client closes the connection.
  double endless_share = 0;
  // Share of the requests that get bytes which would be a signed answer if
  // their head weren't malformed.
  double malformed_share = 0;
  // Share of the requests to which the endpoint first writes the copy of a
  // refusal, without an id, works on for some time, and then answers.
  double copied_refusal_share = 0;
  // Share of the requests that the endpoint refuses as if it had no room.
  double refusal_share = 0;
  // Share of the requests, among those that arrive on a connection after a
  // refused one, to which the endpoint first writes the copy of that refusal.
  double repeated_refusal_share = 0;
  // Requests per second that the endpoint says it accepts from all hosts
  // together; 0 if it names no limit.
  double limit = 0;
  // Requests that the endpoint says it can turn away in a second for want of
  // room without falling over; 0 if it is not brittle.
  size_t brittle_limit = 0;
  // Requests that wait when all slots are taken; by default as many as there
  // are slots.
  std::optional<size_t> waiting_room = std::nullopt;
  // Added to the duration of each request or event.
  core::Duration delay = core::Duration::zero();

  auto operator<=>(const EndpointFaults&) const = default;
};

struct EndpointOptions {
  core::RunnerId id;
  core::PoolId pool;
  core::SocketAddress address;
  size_t slots = 8;
  uint64_t seed = 0;
  std::string software_version = "v1";
};

class PlatformEndpoint {
 public:
  using RunPointer = std::shared_ptr<EndpointRun>;
  // Called when a request arrives. The endpoint updates the run until it has
  // ended.
  using RunObserver = std::function<void(const RunPointer& run)>;

  // `loop` must outlive the endpoint. Error: kCannotListen.
  static absl::StatusOr<std::unique_ptr<PlatformEndpoint>> Create(
      core::EventLoop* loop,
      const EndpointOptions& options,
      RunObserver observer);
  // Resets all connections. Active runs end with RunEnd::kCut.
  ~PlatformEndpoint();
  PlatformEndpoint(const PlatformEndpoint&) = delete;
  PlatformEndpoint& operator=(const PlatformEndpoint&) = delete;

  // Sets a callback that is called when a request, or too many of them while it
  // is brittle, crash the endpoint.
  void SetCrashObserver(std::function<void()> observer) {
    crash_observer_ = std::move(observer);
  }
  void SetFaults(const EndpointFaults& faults) { faults_ = faults; }
  // States in every answer from now on that the endpoint is leaving, and that
  // the answer is the last on its connection.
  void AnnounceDeparture();
  // Returns the number of active requests.
  size_t running() const { return sessions_.size(); }
  const EndpointOptions& options() const { return options_; }

 private:
  using TransactionPointer = std::shared_ptr<http::Transaction>;
  // An active request.
  struct Session;
  using SessionPointer = std::shared_ptr<Session>;
  struct Connection {
    uint64_t number = 0;
    // The last request on the connection, if it was refused, and the answer.
    std::optional<core::RequestId> refused;
    std::string refusal;
  };

  PlatformEndpoint(core::EventLoop* loop,
                   EndpointOptions options,
                   RunObserver observer);

  void OnRequest(const TransactionPointer& transaction);
  // Refuses a request that is addressed to another endpoint, exceeds the
  // capacity or falls into a pause. Returns true if it was refused.
  bool Refuse(const TransactionPointer& transaction, EndpointRun* run);
  // Returns the record of the connection that the request came on.
  Connection& ConnectionOf(const http::Transaction& transaction);
  // Writes the refusal of the request before on the same connection once more,
  // if there was one.
  void RepeatRefusal(const http::Transaction& transaction, EndpointRun* run);
  // Records that a request was turned away for want of room. A brittle endpoint
  // crashes after too many.
  void RecordTurnedAway();
  // Adds the limit of the endpoint, if it has one, and whether it is brittle,
  // to the headers of an answer.
  void NameLimit(EndpointRun* run, http::Headers* headers) const;
  // Returns the headers that identify the answer of `run`.
  http::Headers AnswerHeaders(EndpointRun* run) const;
  void StartSession(const TransactionPointer& transaction,
                    const RunPointer& run);
  // Starts a body without a length, in chunks or unframed.
  void StartBody(const SessionPointer& session, const http::Headers& headers);
  void StartEndless(const SessionPointer& session);
  void SendMalformed(const SessionPointer& session);
  // Writes the copy of a refusal, and what follows it.
  void CopyRefusal(const SessionPointer& session);
  void AnswerAfterCopy(const SessionPointer& session);
  void AnswerPlain(const SessionPointer& session);
  void StartEvents(const SessionPointer& session);
  void SendEvent(const SessionPointer& session);
  void End(const SessionPointer& session, RunEnd end);

  core::EventLoop* const loop_;
  const EndpointOptions options_;
  const RunObserver observer_;
  std::function<void()> crash_observer_;
  core::RandomSource random_;
  EndpointFaults faults_;
  bool is_leaving_ = false;
  // When requests were turned away for want of room, within the last second.
  std::deque<core::TimePoint> turned_away_at_;
  std::set<SessionPointer> sessions_;
  std::
      map<std::weak_ptr<http::RequestConnection>, Connection, std::owner_less<>>
          connections_;
  std::unique_ptr<http::RequestServer> server_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMENDPOINT_PLATFORM_ENDPOINT_H_
