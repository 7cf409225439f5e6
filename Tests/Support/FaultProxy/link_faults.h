// Decides from a seed which faults apply to the traffic of one proxied link.
// Uses no sockets or clocks, so that tests can control the time.

#ifndef TESTS_SUPPORT_FAULTPROXY_LINK_FAULTS_H_
#define TESTS_SUPPORT_FAULTPROXY_LINK_FAULTS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "absl/status/statusor.h"

namespace wasabi::support {

// The direction of traffic: to the link's target, or back to the client.
enum class Direction { kToTarget, kToClient };

enum class LinkFaultKind {
  // Resets all TCP connections that are open now.
  kCut,
  // Stops relaying on all TCP connections that are open now without closing
  // them. New connections work.
  kHalfOpen,
  // Blocks all traffic for the fault's duration. TCP data is delivered
  // afterwards; datagrams are dropped.
  kFreeze,
  // Delays all traffic.
  kDelay,
  // Drops a share of the datagrams, or of the chunks read from a TCP stream.
  kDrop,
  // Delivers a share of the datagrams twice.
  kDuplicate,
  // Ends all faults except half-open connections.
  kClear,
};

// One fault as injected by POST /faults.
struct LinkFault {
  LinkFaultKind kind = LinkFaultKind::kClear;
  // The directions that the fault affects.
  bool affects_to_target = true;
  bool affects_to_client = true;
  // Zero means that the fault lasts until a kClear.
  core::Duration duration = core::Duration::zero();
  // Added latency of a kDelay fault.
  core::Duration delay = core::Duration::zero();
  // Share of the traffic that a drop or a duplicate affects, in [0, 1].
  double share = 1;

  auto operator<=>(const LinkFault&) const = default;
};

// Parses {"kind":"cut"|"half_open"|"freeze"|"delay"|"drop"|"duplicate"|"clear",
// "direction":"both"|"to_target"|"to_client","duration_ms":N,"delay_ms":N,
// "share":0.5}. Returns ResultCode::kMalformedRequest for an unknown kind.
absl::StatusOr<LinkFault> LinkFaultFromJson(const nlohmann::json& json);

// How to relay one datagram or one chunk of a TCP stream.
struct Treatment {
  bool is_dropped = false;
  bool is_duplicated = false;
  core::Duration delay = core::Duration::zero();

  auto operator<=>(const Treatment&) const = default;
};

class LinkFaults {
 public:
  explicit LinkFaults(uint64_t seed) : random_(seed) {}

  // Activates a lasting fault, or ends all of them for kClear. kCut and
  // kHalfOpen act on connections and are handled by TcpRelay instead.
  void Inject(const LinkFault& fault, core::TimePoint now);

  // Returns true if a kFreeze fault blocks `direction` at `now`.
  bool IsFrozen(Direction direction, core::TimePoint now) const;

  // Decides how to relay the next datagram or chunk.
  Treatment Treat(Direction direction, core::TimePoint now);

 private:
  // An active fault and the time when it ends.
  struct Active {
    LinkFault fault;
    core::TimePoint end;
  };

  const LinkFault* Find(LinkFaultKind kind,
                        Direction direction,
                        core::TimePoint now) const;

  // Indexed by kind: a new fault replaces the active one of the same kind.
  std::array<std::optional<Active>, 7> active_;
  core::RandomSource random_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FAULTPROXY_LINK_FAULTS_H_
