// The endpoints of a soak: each behind a proxy of its own, registered in the
// store by heartbeats, coming and going.

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

class EndpointFleet {
 public:
  EndpointFleet(core::EventLoop* loop,
                const SoakOptions& options,
                support::WatchedLog* log,
                History* history);

  // Adds an endpoint of `pool` and registers it.
  absl::Status Add(const core::PoolId& pool);

  // Each of these chooses an endpoint that serves by `target`.
  // It starts again under its id after `duration`.
  void Crash(uint64_t target, core::Duration duration);
  // Another one joins, then this one leaves: with an announcement, or only by
  // the end of its registration.
  void Replace(uint64_t target, bool announces);
  void SetFaults(uint64_t target,
                 const support::EndpointFaults& faults,
                 core::Duration duration);
  void PlantOnLink(uint64_t target,
                   const support::LinkFault& fault,
                   core::Duration duration);
  void ResetConnections(uint64_t target);
  void SilenceConnections(uint64_t target);

  // To be called often: heartbeats, and what is due.
  void Poll();

 private:
  enum class State : uint8_t { kServing, kCrashed, kLeaving, kGone };

  struct Member {
    support::EndpointOptions options;
    // Where hosts find it: the proxy before it.
    core::SocketAddress registered_address;
    State state = State::kServing;
    bool is_registered = true;
    int64_t sequence = 0;
    int64_t started_at_ms = 0;
    std::unique_ptr<support::PlatformEndpoint> endpoint;
    std::unique_ptr<support::LinkFaults> link_faults;
    std::unique_ptr<support::TcpRelay> relay;
    core::TimePoint next_beat_at;
    core::TimePoint crashed_at;
    // When it starts again, or ends.
    core::TimePoint due_at;
    core::TimePoint faults_end_at;
  };

  absl::Status Start(Member* member);
  // Writes the registration, or drops it.
  void Register(Member* member);
  void Unregister(Member* member);
  Member* Choose(uint64_t target);
  void AddDisturbance(const Member& member, core::Duration duration);
  void PollMember(Member* member);

  core::EventLoop* const loop_;
  const SoakOptions& options_;
  support::WatchedLog* const log_;
  History* const history_;
  std::vector<std::unique_ptr<Member>> members_;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_ENDPOINT_FLEET_H_
