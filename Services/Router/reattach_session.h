// Finds the stored answer for a caller that lost its connection, on any router
// of the fleet, and sends the remaining chunks.

#ifndef SERVICES_ROUTER_REATTACH_SESSION_H_
#define SERVICES_ROUTER_REATTACH_SESSION_H_

#include <memory>
#include <set>

#include "LibCore/event_loop.h"
#include "LibLink/link.h"
#include "LibMembership/member_table.h"
#include "Services/Router/answer_store.h"
#include "Services/Router/caller_stream.h"
#include "Services/Router/work_message.h"

namespace wasabi::router {

// Queries all other routers for an answer. The pending calls keep the session
// alive.
class ReattachSession : public std::enable_shared_from_this<ReattachSession> {
 public:
  // Queries every other router. The first one that stores the answer serves
  // `stream`; if none does, the stream ends with kUnknownRequest.
  static void Start(link::Link* link,
                    const membership::MemberTableSnapshot& members,
                    const core::HostId& self,
                    const ReattachRequest& request,
                    const std::shared_ptr<CallerStream>& stream);

 private:
  class PeerSink;

  explicit ReattachSession(std::shared_ptr<CallerStream> stream)
      : stream_(std::move(stream)) {}

  void QueryOtherRouters(link::Link* link,
                         const membership::MemberTableSnapshot& members,
                         const core::HostId& self,
                         const ReattachRequest& request);
  void OnFound(size_t host);
  void OnChunk(size_t host, uint32_t index, std::string_view payload);
  void OnDone(size_t host, const absl::Status& status);

  std::shared_ptr<CallerStream> stream_;
  size_t open_calls_ = 0;
  // Call number of the router that serves the answer, as passed to its
  // PeerSink; valid if `is_found_`.
  size_t serving_host_ = 0;
  bool is_found_ = false;
};

// Serves a kReattach call from the answers stored on this host.
void ServeReattach(const AnswerStore& answers,
                   const std::shared_ptr<link::InboundCall>& call);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_REATTACH_SESSION_H_
