// The faults of one proxied link, decided from a seed. Free of sockets and
// clocks.

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

// Where bytes go: to the target, or back to the client.
enum class Direction { kToTarget, kToClient };

enum class LinkFaultKind {
  // Resets all open TCP connections, once.
  kCut,
  // Open TCP connections never carry a byte again; new ones work.
  kHalfOpen,
  // Nothing passes while the fault lasts; what TCP sent passes afterwards.
  kFreeze,
  // Everything passes later.
  kDelay,
  // A share of the datagrams, or of the pieces of a TCP stream, is dropped.
  kDrop,
  // A share of the datagrams is delivered twice.
  kDuplicate,
  // Ends all faults but half-open connections.
  kClear,
};

// One fault as POST /faults plants it.
struct LinkFault {
  LinkFaultKind kind = LinkFaultKind::kClear;
  bool hits_to_target = true;
  bool hits_to_client = true;
  // Zero for no end.
  core::Duration duration = core::Duration::zero();
  core::Duration delay = core::Duration::zero();
  // Of what a drop or a duplicate hits.
  double share = 1;

  auto operator<=>(const LinkFault&) const = default;
};

// Reads {"kind":"cut"|"half_open"|"freeze"|"delay"|"drop"|"duplicate"|"clear",
// "direction":"both"|"to_target"|"to_client","duration_ms":N,"delay_ms":N,
// "share":0.5}.
absl::StatusOr<LinkFault> LinkFaultFromJson(const nlohmann::json& json);

// What to do with one datagram or one piece of a stream.
struct Treatment {
  bool is_dropped = false;
  bool is_duplicated = false;
  core::Duration delay = core::Duration::zero();

  auto operator<=>(const Treatment&) const = default;
};

class LinkFaults {
 public:
  explicit LinkFaults(uint64_t seed) : random_(seed) {}

  // Plants a lasting fault; kCut and kHalfOpen concern connections only and
  // change nothing here.
  void Plant(const LinkFault& fault, core::TimePoint now);

  // Whether nothing passes in `direction` at `now`.
  bool IsFrozen(Direction direction, core::TimePoint now) const;

  // Decides about the next datagram or piece.
  Treatment Treat(Direction direction, core::TimePoint now);

 private:
  // A planted fault and its end.
  struct Active {
    LinkFault fault;
    core::TimePoint end;
  };

  const LinkFault* Find(LinkFaultKind kind,
                        Direction direction,
                        core::TimePoint now) const;

  // One of each kind; a later one replaces the earlier.
  std::array<std::optional<Active>, 7> active_;
  core::RandomSource random_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FAULTPROXY_LINK_FAULTS_H_
