#include "LibLoad/pool_load_service.h"

#include <utility>

#include "LibCore/process_seed.h"

namespace wasabi::load {

namespace {

constexpr membership::ApplicationKind kKinds[] = {
    membership::ApplicationKind::kPoolReport,
    membership::ApplicationKind::kPoolTotals,
    membership::ApplicationKind::kPoolSums,
};

PoolLoadOptions WithSelf(PoolLoadOptions options,
                         const membership::Member& self) {
  options.self = self.id;
  options.data_centre = self.data_centre;
  options.first_sequence = static_cast<uint32_t>(core::FirstMessageNumber());
  return options;
}

}  // namespace

PoolLoadService::PoolLoadService(core::EventLoop* loop,
                                 membership::GossipNode* node,
                                 PoolLoadOptions options)
    : loop_(loop),
      node_(node),
      exchange_(WithSelf(std::move(options), node->self()),
                [node](const core::HostId& to,
                       membership::ApplicationKind kind,
                       std::string_view body) {
                  // Fails if the aggregator was removed in the meantime. The
                  // next report is then sent to its successor.
                  node->SendApplication(to, static_cast<uint8_t>(kind), body)
                      .IgnoreError();
                }),
      ticker_(loop->NewTimer(
          [this] { exchange_.Tick(*node_->table(), loop_->Now()); })) {
  for (const membership::ApplicationKind kind : kKinds) {
    node_->SetApplicationHandler(
        static_cast<uint8_t>(kind),
        [this, kind](const membership::Member& from, std::string_view body) {
          return exchange_.OnDatagram(from, kind, body, loop_->Now());
        });
  }
  ticker_->StartRepeating(membership::kGossipTick);
}

PoolLoadService::~PoolLoadService() {
  for (const membership::ApplicationKind kind : kKinds) {
    node_->SetApplicationHandler(static_cast<uint8_t>(kind), nullptr);
  }
}

void PoolLoadService::SetLocalDemand(const core::PoolId& pool,
                                     const routing::PoolDemand& demand) {
  exchange_.SetLocalDemand(pool, demand);
}

void PoolLoadService::RemoveLocalDemand(const core::PoolId& pool) {
  exchange_.RemoveLocalDemand(pool);
}

routing::PoolDemand PoolLoadService::Total(const core::PoolId& pool) const {
  return exchange_.Total(pool, loop_->Now());
}

}  // namespace wasabi::load
