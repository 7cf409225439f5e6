// The faults that POST /faults injects into a stand-in engine.

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
  // The process exits when a request with the given digest, or one whose body
  // contains the given text, emits its second token.
  kCrashOnDigest,
  kCrashOnText,
  // The process exits immediately.
  kCrash,
  // The event loop blocks for the fault's duration.
  kFreeze,
  // The next answers carry the id and the text of a different request.
  kCross,
  // The connection is aborted after the given number of tokens.
  kCut,
  // The answer starts after the fault's duration.
  kLate,
  // Every token is sent twice.
  kDuplicateChunks,
  // The engine sends nothing more on the connections that are open now.
  kSilenceOpen,
  // The next requests are rejected as overloaded.
  kRefuse,
  // GET /v1/load returns 503 for the fault's duration.
  kNoLoadReports,
  // For the fault's duration, the load report announces that the engine is
  // leaving. The engine still accepts requests and the host list is unchanged.
  kLeave,
};

// One injected fault. Fields that its kind doesn't use are ignored.
struct Fault {
  FaultKind kind = FaultKind::kCrash;
  // The digest or the text that a request must match.
  std::string text;
  // Number of tokens to send before a cut.
  uint32_t tokens = 0;
  // Number of further requests that the fault affects.
  uint32_t count = 1;
  core::Duration duration = core::Duration::zero();

  auto operator<=>(const Fault&) const = default;
};

// Parses {"kind":"crash_on_digest","text":…,"tokens":N,"count":N,
// "duration_ms":N}. The kinds are the enumerator names in snake_case without
// the k. Returns ResultCode::kMalformedRequest for an unknown kind.
absl::StatusOr<Fault> FaultFromJson(const nlohmann::json& json);

// The pending faults that affect later requests.
class FaultSet {
 public:
  void Add(const Fault& fault) { faults_.push_back(fault); }

  // Copies the first fault of `kind` to `fault` and decrements its count.
  // Returns false if there is none.
  bool Take(FaultKind kind, Fault* fault);

  // Returns true if a request with this digest and content must crash the
  // process.
  bool CrashesProcess(const std::string& digest,
                      const std::string& content) const;

 private:
  std::vector<Fault> faults_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_ENGINE_ENGINE_FAULTS_H_
