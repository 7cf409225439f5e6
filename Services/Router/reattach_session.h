// Finds an answer for a caller that lost its connection, on this host or on
// another one, and hands over the rest of it.

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

class ReattachSession : public std::enable_shared_from_this<ReattachSession> {
 public:
  // Asks every other router for the answer. The first one that holds it serves
  // `stream`; where none does, the stream ends with kUnknownRequest.
  static void Start(link::Link* link,
                    const membership::MemberTableView& members,
                    const core::HostId& self,
                    const ReattachRequest& request,
                    const std::shared_ptr<CallerStream>& stream);

 private:
  class HostSink;

  explicit ReattachSession(std::shared_ptr<CallerStream> stream)
      : stream_(std::move(stream)) {}

  void AskAll(link::Link* link,
              const membership::MemberTableView& members,
              const core::HostId& self,
              const ReattachRequest& request);
  void OnFound(size_t host);
  void OnChunk(size_t host, uint32_t index, std::string_view payload);
  void OnDone(size_t host, const absl::Status& status);

  std::shared_ptr<CallerStream> stream_;
  size_t open_calls_ = 0;
  // The host that serves the answer, once one has been found.
  size_t serving_host_ = 0;
  bool is_found_ = false;
};

// Serves a kReattach call from this host's answers.
void ServeReattach(const AnswerStore& answers,
                   const std::shared_ptr<link::InboundCall>& call);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_REATTACH_SESSION_H_
