// Describes a call on a connection in log entries, so that an answer can be
// told from the copy of an earlier one.

#ifndef LIBHTTP_CONNECTION_USE_H_
#define LIBHTTP_CONNECTION_USE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace wasabi::http {

struct ConnectionUse {
  // The connection's number among those that the client has made.
  uint64_t connection = 0;
  // 1 for the first call on it.
  int call = 0;
  // How often a request with the call's id was sent on it, this call included.
  // If more than once, a response with this id may answer an earlier send.
  int sends_of_id = 0;
  // Responses that were read during the call and belong to other requests.
  int skipped_responses = 0;
  // Bytes that had arrived, unread, when the request was sent.
  size_t waiting_bytes = 0;

  auto operator<=>(const ConnectionUse&) const = default;
};

// Returns `use` as fields of a log entry.
std::string Describe(const ConnectionUse& use);

}  // namespace wasabi::http

#endif  // LIBHTTP_CONNECTION_USE_H_
