// Manages the endpoints of a soak run: each has its own fault proxy and keeps
// its registration in the store alive with heartbeats. Endpoints crash, restart
// and are replaced during the run.

#ifndef TESTS_SOAK_ENDPOINT_FLEET_H_
#define TESTS_SOAK_ENDPOINT_FLEET_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "Tests/Soak/history.h"
#include "Tests/Soak/soak_options.h"
#include "Tests/Support/FaultProxy/tcp_relay.h"
#include "Tests/Support/PlatformEndpoint/platform_endpoint.h"
#include "Tests/Support/PlatformStore/watched_log.h"

namespace wasabi::soak {

// How an endpoint that leaves announces it.
enum class Announcement : uint8_t {
  // It registers as draining, and says so in its answers.
  kRegistration,
  // Only its registration is removed.
  kNone,
  // It only says so in its answers; its registration stays as it was.
  kAnswers,
};

// What starts at the address of an endpoint that has ended.
enum class Successor : uint8_t {
  // An endpoint of the same pool.
  kSamePool,
  // One of another pool. The pool gets a new endpoint at another address.
  kOtherPool,
};

// Returns the data centre of an endpoint, or the one that `number` selects.
core::DataCentreId DataCentreOf(const core::RunnerId& endpoint);
core::DataCentreId DataCentreOf(uint64_t number);

class EndpointFleet {
 public:
  // All arguments must outlive the fleet.
  EndpointFleet(core::EventLoop* loop,
                const SoakOptions& options,
                support::WatchedLog* log,
                History* history);

  // Adds an endpoint to `pool` and registers it.
  absl::Status Add(const core::PoolId& pool);

  // Each of the following methods selects a serving endpoint by `target`, and
  // does nothing if no endpoint is serving.

  // Stops the endpoint; it restarts under the same id after `duration`.
  void Crash(uint64_t target, core::Duration duration);
  // Adds another endpoint to the pool, then removes this one.
  void Replace(uint64_t target, Announcement announcement);
  // Stops the endpoint, or all of its pool, and starts another one, which has
  // another id, at its address at once. The registration of the first stands
  // for some time, until it is removed or lapses. The successor refuses some
  // requests, and repeats refusals on their connections, as long.
  void Renew(uint64_t target, Successor successor);
  // Lets the endpoint name a limit, in requests per second, in its answers.
  void SetLimit(uint64_t target, double per_second, core::Duration duration);
  // Keeps the endpoint from the store for `duration`, so that its registration
  // may lapse.
  void CutFromStore(uint64_t target, core::Duration duration);
  // Keeps the endpoint from the store for `duration`. Meanwhile it crashes, and
  // starts again with another software version.
  void BearAgain(uint64_t target, core::Duration duration);
  // Answers large requests early, in part and without a length, and resets
  // their connections.
  void AnswerEarly(uint64_t target, core::Duration duration);
  void SetFaults(uint64_t target,
                 const support::EndpointFaults& faults,
                 core::Duration duration);
  void AddLinkFault(uint64_t target,
                    const support::LinkFault& fault,
                    core::Duration duration);
  void ResetConnections(uint64_t target);
  void SilenceConnections(uint64_t target);

  // Sets the faults of all serving endpoints.
  void SetFaultsOfAll(const support::EndpointFaults& faults,
                      core::Duration duration);
  // Sets what the endpoints of a pool do while no other fault changes it, also
  // after they restart.
  void SetUsual(const core::PoolId& pool,
                const support::EndpointFaults& faults);
  // Records that the endpoints of a pool, which are brittle, let none wait for
  // `duration`.
  void BeginBrittlePeriod(const core::PoolId& pool, core::Duration duration);

  // Records that the endpoints of a data centre get no requests for
  // `duration`.
  void RecordEvacuation(const core::DataCentreId& data_centre,
                        core::Duration duration);

  // Writes the state of every registration again.
  void RegisterAgain();

  // Sends heartbeats and performs the state changes that are due. Must be
  // called frequently.
  void Poll();

 private:
  enum class State : uint8_t {
    kServing,
    kCrashed,
    kLeaving,
    // It has ended for good, but its registration stands.
    kEnded,
    kGone,
  };

  struct Member {
    support::EndpointOptions options;
    // What the endpoint does while no fault changes it.
    support::EndpointFaults usual;
    // The address of the proxy in front of the endpoint, to which hosts
    // connect.
    core::SocketAddress registered_address;
    State state = State::kServing;
    bool is_registered = true;
    // Its registration says that it is leaving.
    bool is_draining = false;
    int64_t sequence = 0;
    int64_t started_at_ms = 0;
    std::unique_ptr<support::PlatformEndpoint> endpoint;
    std::unique_ptr<support::LinkFaults> link_faults;
    std::unique_ptr<support::TcpRelay> relay;
    core::TimePoint next_heartbeat_at;
    core::TimePoint crashed_at;
    // When a crashed endpoint restarts, a leaving endpoint stops, or the
    // registration of an ended one is removed.
    core::TimePoint transition_at;
    core::TimePoint faults_end_at;
    // Until then it can't reach the store.
    core::TimePoint cut_until;
  };

  // Adds an endpoint that listens at `address` behind a proxy at
  // `registered_address`.
  absl::StatusOr<Member*> AddAt(const core::PoolId& pool,
                                const core::SocketAddress& address,
                                const core::SocketAddress& registered_address);
  absl::Status Start(Member* member);
  // Records a request for the pool of the endpoint that it was sent to, also if
  // that one has ended and an endpoint of another pool refuses it.
  void Record(const support::PlatformEndpoint::RunPointer& run);
  // Writes a registration record, which also serves as the heartbeat.
  void Register(Member* member);
  // Deletes the registration record.
  void Unregister(Member* member);
  // Returns the serving endpoint that `target` selects, or null if there is
  // none.
  Member* Choose(uint64_t target);
  void CrashMember(Member* member, core::Duration duration);
  // `stands` is how long the registration stands.
  void RenewMember(Member* member, core::Duration stands, Successor successor);
  // Replaces the faults of the endpoint for `duration`.
  void SetMemberFaults(Member* member,
                       const support::EndpointFaults& faults,
                       core::Duration duration);
  // Records that the endpoint no longer names a limit.
  void EndLimits(const Member& member);
  void AddDisturbance(const Member& member,
                      core::Duration duration,
                      bool is_planned = false);
  // Counts the fall of an endpoint in the brittle periods of its pool.
  void RecordFall(const Member& member);
  // Sends the heartbeat if it is due, or lets the registration lapse.
  void PollRegistration(Member* member);
  void PollMember(Member* member);
  void RemoveMember(Member* member);

  core::EventLoop* const loop_;
  const SoakOptions& options_;
  support::WatchedLog* const log_;
  History* const history_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<core::Timer>> timers_;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_ENDPOINT_FLEET_H_
