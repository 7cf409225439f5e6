// What an exchange returns when it is asked for a grant. The answer to such a
// question may be known at once, or another host has to give it.

#ifndef LIBFORWARDING_GRANT_REPLY_H_
#define LIBFORWARDING_GRANT_REPLY_H_

#include <optional>

namespace wasabi::forwarding {

// An answer that is known at once is returned, and the callback of the question
// is dropped. Otherwise this is nullopt, and the callback is called once, from
// the event loop. No callback runs inside the call that asks, so a request that
// is denied can ask again without nesting its questions.
template <typename Answer>
using GrantReply = std::optional<Answer>;

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_GRANT_REPLY_H_
