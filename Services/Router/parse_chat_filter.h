// Reads the JSON of a chat completion.

#ifndef SERVICES_ROUTER_PARSE_CHAT_FILTER_H_
#define SERVICES_ROUTER_PARSE_CHAT_FILTER_H_

#include "Services/Router/filter.h"

namespace wasabi::router {

class ParseChatFilter : public Filter {
 public:
  // kMalformedRequest for anything that is not a chat completion.
  absl::Status Apply(RequestContext* context) override;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_PARSE_CHAT_FILTER_H_
