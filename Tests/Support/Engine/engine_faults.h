// The faults that POST /faults plants in a stand-in engine.

#ifndef TESTS_SUPPORT_ENGINE_ENGINE_FAULTS_H_
#define TESTS_SUPPORT_ENGINE_ENGINE_FAULTS_H_

#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "absl/status/statusor.h"

namespace wasabi::support {

enum class FaultKind {
  // The process exits when a request with the digest or text emits its second
  // token.
  kCrashOnDigest,
  kCrashOnText,
  // The process exits at once.
  kCrash,
  // The process does nothing for a while.
  kFreeze,
  // The next requests are answered with another request's id and text.
  kCross,
  // The connection breaks after some tokens.
  kCut,
  // The answer starts late.
  kLate,
  // Every token is sent twice.
  kDuplicateChunks,
  // Connections that are open now never carry a byte again.
  kSilenceOpen,
  // The next requests are refused as overload.
  kRefuse,
  // Load reports are answered 503 for a while.
  kNoLoadReports,
  // The load report says for a while that the engine leaves, while it takes
  // requests as before and the host list does not show it.
  kLeave,
};

// One planted fault. Fields that a kind doesn't use are ignored.
struct Fault {
  FaultKind kind = FaultKind::kCrash;
  // The digest or the marker text.
  std::string text;
  // Tokens before a cut.
  uint32_t tokens = 0;
  // Requests that the fault still hits.
  uint32_t count = 1;
  core::Duration duration = core::Duration::zero();

  auto operator<=>(const Fault&) const = default;
};

// Reads {"kind":"crash_on_digest","text":…,"tokens":N,"count":N,
// "duration_ms":N}; kinds are named as the enumerators without the k.
absl::StatusOr<Fault> FaultFromJson(const nlohmann::json& json);

// The faults that are waiting for requests.
class FaultSet {
 public:
  void Add(const Fault& fault) { faults_.push_back(fault); }

  // Uses up one hit of the first fault of `kind`; false where there is none.
  bool Take(FaultKind kind, Fault* fault);

  // Whether a request with this content brings the process down.
  bool IsFatal(const std::string& digest, const std::string& content) const;

 private:
  std::vector<Fault> faults_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ENGINE_FAULTS_H_
