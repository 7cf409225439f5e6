// The mapping of calls to HTTP/2: header names, the encoding of a status in
// trailers, and the length prefix of response messages.

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

// Returns the request path of `kind`, which is "/" and its number.
std::string PathOf(CallKind kind);
// Returns the call kind of a request path, or nullopt for an unknown path.
std::optional<CallKind> KindOf(std::string_view path);

// Encodes `status` as trailers.
std::vector<HeaderField> StatusToTrailers(const absl::Status& status);

// Decodes a status from trailers.
class StatusReader {
 public:
  // Adds a field. Fields with other names than the status trailers are ignored.
  void AddField(std::string_view name, std::string_view value);
  // True if a status code was among the fields.
  bool has_status() const { return code_.has_value(); }
  // Returns the decoded status, or kMalformedMessage if the code is missing or
  // unknown.
  absl::Status Status() const;

 private:
  std::optional<int> code_;
  std::string message_;
  std::optional<int64_t> retry_after_ms_;
};

// Appends `message` to `buf`, preceded by its length as a big-endian 32-bit
// integer.
void AppendFramed(std::string_view message, std::string* buf);

// Splits a byte stream into the messages that AppendFramed wrote.
class MessageReader {
 public:
  explicit MessageReader(size_t max_message_bytes)
      : max_message_bytes_(max_message_bytes) {}

  // Calls `on_message` for each message that `bytes` completes. The views are
  // valid only during the call. Returns false if a message exceeds the limit;
  // Feed must not be called again then.
  bool Feed(std::string_view bytes,
            const std::function<void(std::string_view)>& on_message);

  // True if no message is partially received.
  bool AtBoundary() const { return buffered_.empty(); }

 private:
  // Calls `on_message` for the complete messages at the start of `bytes`.
  // Returns the number of consumed bytes, or nullopt if a message exceeds the
  // limit.
  std::optional<size_t> Deliver(
      std::string_view bytes,
      const std::function<void(std::string_view)>& on_message) const;

  const size_t max_message_bytes_;
  // The bytes of a partially received message.
  std::string buffered_;
};

}  // namespace wasabi::link

#endif  // LIBLINK_WIRE_FORMAT_H_
