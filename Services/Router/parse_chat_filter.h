// Parses the JSON body of a chat completion request.

#ifndef SERVICES_ROUTER_PARSE_CHAT_FILTER_H_
#define SERVICES_ROUTER_PARSE_CHAT_FILTER_H_

#include "Services/Router/filter.h"

namespace wasabi::router {

// Fills in the model, chat key, work size and engine request.
class ParseChatFilter : public Filter {
 public:
  // Returns kMalformedRequest for a body that is not a valid chat completion
  // request.
  absl::Status Apply(RequestContext* context) override;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_PARSE_CHAT_FILTER_H_
