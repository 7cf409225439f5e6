// Counts, from what endpoints see, how often a request comes again to where it
// was refused.

#ifndef TESTS_ONCE_REFUSAL_LEDGER_H_
#define TESTS_ONCE_REFUSAL_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "LibCore/identifier.h"
#include "LibCore/socket_address.h"

namespace wasabi::once {

class RefusalLedger {
 public:
  struct Counts {
    // Refusals with status 421, and with 503.
    size_t misdirected = 0;
    size_t overloaded = 0;
    // Requests that came again to the address, whichever endpoint listens
    // there, and to the very connection.
    size_t again_at_address = 0;
    size_t again_on_connection = 0;
    // Refusals that were written once more.
    size_t copies = 0;
  };

  // Returns a number for a connection that no other one has.
  uint64_t NewConnection() { return ++connections_; }

  void RecordArrival(const core::RequestId& request,
                     const core::SocketAddress& address,
                     uint64_t connection) {
    counts_.again_at_address += at_.count({request, address});
    counts_.again_on_connection += on_.count({request, connection});
  }
  void RecordRefusal(const core::RequestId& request,
                     const core::SocketAddress& address,
                     uint64_t connection,
                     bool is_misdirected) {
    ++(is_misdirected ? counts_.misdirected : counts_.overloaded);
    at_.emplace(request, address);
    on_.emplace(request, connection);
  }
  void RecordCopies(size_t copies) { counts_.copies += copies; }

  const Counts& counts() const { return counts_; }

 private:
  Counts counts_;
  uint64_t connections_ = 0;
  std::set<std::pair<core::RequestId, core::SocketAddress>> at_;
  std::set<std::pair<core::RequestId, uint64_t>> on_;
};

}  // namespace wasabi::once

#endif  // TESTS_ONCE_REFUSAL_LEDGER_H_
