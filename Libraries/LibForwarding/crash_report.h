// The message in which hosts tell each other what was in flight at an endpoint
// that crashed, and what has completed since.

#ifndef LIBFORWARDING_CRASH_REPORT_H_
#define LIBFORWARDING_CRASH_REPORT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "LibCore/message.h"

namespace wasabi::forwarding {

enum class SuspectKind : uint8_t {
  // The whole content of a request.
  kContent,
  // A prompt part.
  kPart,
};

// What may have crashed an endpoint.
struct Suspect {
  SuspectKind kind = SuspectKind::kContent;
  uint64_t id = 0;

  auto operator<=>(const Suspect&) const = default;
  template <typename H>
  friend H AbslHashValue(H state, const Suspect& it) {
    return H::combine(std::move(state), it.kind, it.id);
  }
};

// Ids of contents and of prompt parts.
struct SuspectIds {
  std::vector<uint64_t> contents;
  std::vector<uint64_t> parts;

  auto operator<=>(const SuspectIds&) const = default;
  MSGPACK_DEFINE(contents, parts);

  void Add(const Suspect& suspect) {
    (suspect.kind == SuspectKind::kContent ? contents : parts)
        .push_back(suspect.id);
  }
  size_t size() const { return contents.size() + parts.size(); }
};

// News of one crash.
struct CrashReport {
  uint64_t crash_id = 0;
  // Time since the crash in milliseconds, on the sender's clock.
  int64_t age_milliseconds = 0;
  SuspectIds in_flight;
  // What has completed since.
  SuspectIds cleared;

  auto operator<=>(const CrashReport&) const = default;
  MSGPACK_DEFINE(crash_id, age_milliseconds, in_flight, cleared);
};

// Prompt parts that are refused together, and the latest crashes that speak
// against them.
struct PartBlame {
  // Sorted.
  std::vector<uint64_t> parts;
  std::vector<uint64_t> crash_ids;
  // Time since each crash in milliseconds, on the sender's clock.
  std::vector<int64_t> ages_milliseconds;

  auto operator<=>(const PartBlame&) const = default;
  MSGPACK_DEFINE(parts, crash_ids, ages_milliseconds);
};

// The same for the whole content of a request that is refused.
struct ContentBlame {
  uint64_t content = 0;
  std::vector<uint64_t> crash_ids;
  std::vector<int64_t> ages_milliseconds;

  auto operator<=>(const ContentBlame&) const = default;
  MSGPACK_DEFINE(content, crash_ids, ages_milliseconds);
};

// Splits `report` into reports that fit in a datagram each.
std::vector<CrashReport> SplitReport(const CrashReport& report);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_CRASH_REPORT_H_
