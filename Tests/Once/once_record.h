// What endpoints and callers of a run note of each request. The judge compares
// the two.

#ifndef TESTS_ONCE_ONCE_RECORD_H_
#define TESTS_ONCE_ONCE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/time.h"
#include "LibHttp/origin_client.h"
#include "Tests/Once/refusal_ledger.h"

namespace wasabi::once {

enum class RequestKind : uint8_t {
  kUnsafe,
  kSafe,
  kStreamOnce,
  kResumableStream,
  kCount,
};

inline bool IsStream(RequestKind kind) {
  return kind == RequestKind::kStreamOnce ||
         kind == RequestKind::kResumableStream;
}

// Returns whether a request of `kind` may run once at most.
inline bool MayRunOnce(RequestKind kind) {
  return kind == RequestKind::kUnsafe || kind == RequestKind::kStreamOnce;
}

// The work of one endpoint on one request.
struct Work {
  core::RequestId request;
  std::string endpoint;
  core::TimePoint began_at;
  // When it was done, or when the endpoint noticed that its connection was
  // closed; nullopt while it goes on.
  std::optional<core::TimePoint> ended_at;
  // When the endpoint went on, if it stood still; it does no work until then.
  std::optional<core::TimePoint> woke_at;
};

// One request of a caller, and how it ended.
struct Call {
  core::RequestId id;
  RequestKind kind = RequestKind::kUnsafe;
  size_t host = 0;
  core::TimePoint sent_at;
  // The status of the answer; 0 if its head has not arrived.
  int status = 0;
  std::optional<http::OriginOutcome> end;
  core::TimePoint ended_at;
  // The caller closed its connection before the end.
  bool has_left = false;
};

struct OnceRecord {
  std::vector<std::shared_ptr<Work>> works;
  std::vector<std::shared_ptr<Call>> calls;
  // Number of requests to which an endpoint did what its behaviour says.
  size_t affected = 0;
  RefusalLedger refusals;
};

}  // namespace wasabi::once

#endif  // TESTS_ONCE_ONCE_RECORD_H_
