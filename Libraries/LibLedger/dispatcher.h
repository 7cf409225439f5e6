// Interface that runs a ledger call on an endpoint of the call's service. The
// embedding program implements it.

#ifndef LIBLEDGER_DISPATCHER_H_
#define LIBLEDGER_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "LibCore/time.h"
#include "LibLedger/ledger_call.h"

namespace wasabi::ledger {

// The result of one dispatched call.
struct DispatchResult {
  enum class Kind {
    // The service answered. `http_status` and `body` are valid.
    kAnswered,
    // The call certainly did not run: no connection was established, or the
    // endpoint refused the call with a code that guarantees this.
    kNotRun,
    // Any other result, such as a timeout. The call may have run.
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

  // Runs `call` and invokes `callback` exactly once, never inside this call and
  // no later than `timeout` from now. `attempt` is the attempt number in the
  // call's intent.
  //
  // A request that may have reached an endpoint must not be retried, neither by
  // the implementation nor by its HTTP library. Use a new connection for each
  // request (http::ClientRequest::needs_fresh_connection).
  virtual void Dispatch(const LedgerCall& call,
                        uint64_t attempt,
                        core::Duration timeout,
                        Callback callback) = 0;
};

}  // namespace wasabi::ledger

#endif  // LIBLEDGER_DISPATCHER_H_
