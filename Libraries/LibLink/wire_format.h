// How calls map to HTTP/2: header names, the encoding of a status in trailers,
// and the length prefix of answer messages.

#ifndef LIBLINK_WIRE_FORMAT_H_
#define LIBLINK_WIRE_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibLink/link.h"
#include "absl/status/status.h"

namespace wasabi::link {

constexpr std::string_view kPathHeader = ":path";
constexpr std::string_view kVersionHeader = "x-wasabi-version";
constexpr std::string_view kLamportHeader = "x-lamport";
constexpr std::string_view kCodeTrailer = "x-code";
constexpr std::string_view kMessageTrailer = "x-message";
constexpr std::string_view kRetryAfterTrailer = "x-retry-after-ms";

// One header or trailer field.
struct HeaderField {
  std::string name;
  std::string value;
};

// The path that stands for `kind`, and back; nullopt for an unknown path.
std::string PathOf(CallKind kind);
std::optional<CallKind> KindOf(std::string_view path);

// The trailers that carry `status`.
std::vector<HeaderField> StatusToTrailers(const absl::Status& status);

// Collects trailers back into a status.
class StatusReader {
 public:
  // Takes a field; those with other names are ignored.
  void OnField(std::string_view name, std::string_view value);
  // True when a status code was among the fields.
  bool has_status() const { return code_.has_value(); }
  // The status; kMalformedMessage where the code is missing or unknown.
  absl::Status Status() const;

 private:
  std::optional<int> code_;
  std::string message_;
  std::optional<int64_t> retry_after_ms_;
};

// Appends `message` with its length prefix to `buf`.
void AppendFramed(std::string_view message, std::string* buf);

// Cuts a byte stream into the messages that AppendFramed wrote.
class MessageReader {
 public:
  explicit MessageReader(size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  // Calls `on_message` for each message that `bytes` completes. The views are
  // valid within the call only. Returns false when a message is larger than
  // the limit; nothing more may be fed then.
  bool Feed(std::string_view bytes,
            const std::function<void(std::string_view)>& on_message);

  // True when the stream stands between two messages.
  bool AtBoundary() const { return buffered_.empty(); }

 private:
  // Delivers the whole messages at the start of `bytes`; returns how many bytes
  // they took, or nullopt for a message that is too large.
  std::optional<size_t> Deliver(
      std::string_view bytes,
      const std::function<void(std::string_view)>& on_message) const;

  const size_t max_message_bytes_;
  // A message that has arrived in part.
  std::string buffered_;
};

}  // namespace wasabi::link

#endif  // LIBLINK_WIRE_FORMAT_H_
