// An ordered list of HTTP header fields with case-insensitive names, and the
// names of the non-standard headers that the project uses.

#ifndef LIBHTTP_HEADERS_H_
#define LIBHTTP_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabi::http {

// Keeps the fields in the order and spelling in which they were added. A name
// may occur several times.
class Headers {
 public:
  // A name and its value.
  using Field = std::pair<std::string, std::string>;

  Headers() = default;
  Headers(std::initializer_list<Field> fields) : fields_(fields) {}

  void Add(std::string name, std::string value);
  // Returns the first value of `name`, compared without regard to case, or
  // nullopt if there is no such field.
  std::optional<std::string> Find(std::string_view name) const;
  // Like Find, but returns an empty string for a missing field.
  std::string Get(std::string_view name) const;
  const std::vector<Field>& fields() const { return fields_; }

 private:
  std::vector<Field> fields_;
};

// Header names of the project's HTTP interfaces, besides those that the HTTP
// standard defines.
inline constexpr std::string_view kOrganisationHeader = "X-Organisation";
inline constexpr std::string_view kChatKeyHeader = "X-Chat-Key";
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kAttemptHeader = "X-Attempt";
inline constexpr std::string_view kDeadlineHeader = "X-Deadline-Ms";
inline constexpr std::string_view kPriorityHeader = "X-Priority";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";
inline constexpr std::string_view kRetryAfterMsHeader = "X-Retry-After-Ms";
inline constexpr std::string_view kTraceParentHeader = "traceparent";
inline constexpr std::string_view kResultCodeHeader = "X-Result-Code";
inline constexpr std::string_view kFencingHeader = "X-Fencing-Number";

}  // namespace wasabi::http

#endif  // LIBHTTP_HEADERS_H_
