// Runs PoolLoadExchange on an event loop and sends its datagrams through a
// GossipNode.

#ifndef LIBLOAD_POOL_LOAD_SERVICE_H_
#define LIBLOAD_POOL_LOAD_SERVICE_H_

#include <memory>

#include "LibCore/event_loop.h"
#include "LibLoad/pool_load_exchange.h"
#include "LibMembership/gossip_node.h"

namespace wasabi::load {

class PoolLoadService {
 public:
  // `loop` and `node` must outlive the service. The `self` and `data_centre`
  // options are overwritten with those of `node`.
  PoolLoadService(core::EventLoop* loop,
                  membership::GossipNode* node,
                  PoolLoadOptions options);
  ~PoolLoadService();
  PoolLoadService(const PoolLoadService&) = delete;
  PoolLoadService& operator=(const PoolLoadService&) = delete;

  // See PoolLoadExchange.
  void SetLocalDemand(const core::PoolId& pool,
                      const routing::PoolDemand& demand);
  void RemoveLocalDemand(const core::PoolId& pool);
  routing::PoolDemand Total(const core::PoolId& pool) const;

 private:
  core::EventLoop* const loop_;
  membership::GossipNode* const node_;
  PoolLoadExchange exchange_;
  std::unique_ptr<core::Timer> ticker_;
};

}  // namespace wasabi::load

#endif  // LIBLOAD_POOL_LOAD_SERVICE_H_
