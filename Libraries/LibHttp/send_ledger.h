// Remembers which requests were sent on a connection.

#ifndef LIBHTTP_SEND_LEDGER_H_
#define LIBHTTP_SEND_LEDGER_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace wasabi::http {

class SendLedger {
 public:
  // Records that a request with `id` is sent. Returns how often that id was
  // sent, this time included; always 1 for an empty id, which names no request.
  int Record(std::string_view id);

 private:
  // Hashes of the ids.
  std::vector<uint64_t> sent_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_SEND_LEDGER_H_
