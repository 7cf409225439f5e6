// Runs FactGossip on an event loop and sends its datagrams through a
// GossipNode.

#ifndef LIBMEMBERSHIP_FACT_SERVICE_H_
#define LIBMEMBERSHIP_FACT_SERVICE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibMembership/fact_gossip.h"
#include "LibMembership/gossip_node.h"

namespace wasabi::membership {

class FactService {
 public:
  // `loop` and `node` must outlive the service. `options.self` is overwritten
  // with the id of `node`.
  FactService(core::EventLoop* loop,
              GossipNode* node,
              FactOptions options,
              uint64_t random_seed);
  ~FactService();
  FactService(const FactService&) = delete;
  FactService& operator=(const FactService&) = delete;

  // See FactGossip. All calls and observer callbacks run on the loop.
  absl::Status Set(const std::string& key,
                   const std::string& value,
                   core::Duration lifetime);
  std::optional<std::string> Get(const std::string& key) const;
  std::vector<std::pair<std::string, std::string>> WithPrefix(
      std::string_view prefix) const;
  void SetObserver(FactGossip::Observer observer);

 private:
  core::EventLoop* const loop_;
  GossipNode* const node_;
  FactGossip facts_;
  std::unique_ptr<core::Timer> ticker_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_FACT_SERVICE_H_
