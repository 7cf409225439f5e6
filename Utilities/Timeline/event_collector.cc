#include "Utilities/Timeline/event_collector.h"

#include "LibCore/text.h"

namespace wasabi::timeline {

namespace {

constexpr core::Duration kTimeout = std::chrono::seconds(5);

void AddResponse(const core::SocketAddress& process,
                 const absl::StatusOr<http::ClientResponse>& response,
                 Collection* collection) {
  if (!response.ok()) {
    collection->failures[process.ToString()] =
        core::MessageOf(response.status());
    return;
  }
  const auto events = ParseEvents(response->body);
  if (!events.ok()) {
    collection->failures[process.ToString()] = core::MessageOf(events.status());
    return;
  }
  collection->events.insert(collection->events.end(), events->begin(),
                            events->end());
}

}  // namespace

Collection CollectEvents(core::EventLoop* loop,
                         http::Client* client,
                         const std::vector<core::SocketAddress>& processes) {
  Collection collection;
  size_t pending_requests = processes.size();
  if (pending_requests == 0) {
    return collection;
  }
  for (const core::SocketAddress& process : processes) {
    http::ClientRequest request;
    request.address = process;
    request.target = "/v1/events";
    request.total_timeout = kTimeout;
    client->Fetch(
        request,
        [&, process](const absl::StatusOr<http::ClientResponse>& response) {
          AddResponse(process, response, &collection);
          if (--pending_requests == 0) {
            loop->Stop();
          }
        });
  }
  loop->Run();
  return collection;
}

}  // namespace wasabi::timeline
