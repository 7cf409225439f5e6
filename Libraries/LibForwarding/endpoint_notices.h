// Records what endpoints say about themselves in the heads of their answers:
// that they leave, that they want a pause, the limit that they accept, and that
// they are brittle; and that another endpoint answered.

#ifndef LIBFORWARDING_ENDPOINT_NOTICES_H_
#define LIBFORWARDING_ENDPOINT_NOTICES_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/protocols.h"

namespace wasabi::forwarding {

// Records `notice` of `endpoint`, which an answer to the request `request_id`
// has brought. Limits and brittleness count only in an answer that `is_valid`.
void RecordNotice(ForwardContext* context,
                  const Endpoint& endpoint,
                  const EndpointNotice& notice,
                  bool is_valid,
                  const std::string& request_id);

// Records that an answer to the request `request_id`, which was sent to
// `endpoint`, is another endpoint's. `way` describes the connection, for the
// log entry.
void RecordMisdirected(ForwardContext* context,
                       const Endpoint& endpoint,
                       std::string_view way,
                       const std::string& request_id);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ENDPOINT_NOTICES_H_
