// Asks an exchange for a grant and passes the answer to a callback, whether it
// is known at once or comes later.

#ifndef TESTS_LIBFORWARDING_ASK_EXCHANGE_H_
#define TESTS_LIBFORWARDING_ASK_EXCHANGE_H_

#include "LibCore/time.h"

namespace wasabi::forwarding {

template <typename Exchange, typename Request, typename Callback>
void AskExchange(Exchange& exchange,
                 const Request& request,
                 core::TimePoint now,
                 Callback callback) {
  if (const auto reply = exchange.Acquire(request, now, callback)) {
    callback(*reply);
  }
}

}  // namespace wasabi::forwarding

#endif  // TESTS_LIBFORWARDING_ASK_EXCHANGE_H_
