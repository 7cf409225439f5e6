// Runs a call of the ledger on an endpoint of its service; given by the
// embedding program.

#ifndef LIBLEDGER_DISPATCHER_H_
#define LIBLEDGER_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "LibCore/time.h"
#include "LibLedger/ledger_call.h"

namespace wasabi::ledger {

struct DispatchResult {
  enum class Kind {
    // The service answered; the status and body are valid.
    kAnswered,
    // The call certainly did not run: no connection was made, or the endpoint
    // refused it with a code that says so.
    kNotRun,
    // Anything else: the call may have run.
    kUnknown,
  };

  Kind kind = Kind::kUnknown;
  int http_status = 0;
  std::string body;
};

class Dispatcher {
 public:
  using Callback = std::function<void(DispatchResult)>;

  virtual ~Dispatcher() = default;

  // Runs `call` and calls back once, never inside this call, at the latest
  // after `timeout`. A request that may have reached an endpoint must not be
  // sent again, not even by the HTTP library: use a fresh connection
  // (http::ClientRequest::needs_fresh_connection).
  virtual void Dispatch(const LedgerCall& call,
                        uint64_t attempt,
                        core::Duration timeout,
                        Callback callback) = 0;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_DISPATCHER_H_
