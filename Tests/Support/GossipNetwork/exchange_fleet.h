// A pool load exchange on every member of a GossipNetwork.

#ifndef TESTS_SUPPORT_GOSSIPNETWORK_EXCHANGE_FLEET_H_
#define TESTS_SUPPORT_GOSSIPNETWORK_EXCHANGE_FLEET_H_

#include <memory>
#include <vector>

#include "LibLoad/pool_load_exchange.h"
#include "Tests/Support/GossipNetwork/gossip_network.h"

namespace wasabi::load {

class ExchangeFleet {
 public:
  // Attaches to a running network, which must outlive the fleet and whose
  // handlers it takes.
  ExchangeFleet(membership::GossipNetwork* network,
                double early_report_threshold);

  void SetLocalDemand(int node, const routing::PoolDemand& demand);
  routing::PoolDemand Total(int node) const;
  PoolLoadExchange& exchange(int node) { return *exchanges_[node]; }

  // Bytes that the exchange of a member has sent, with datagram headers.
  uint64_t& bytes_sent(int node) { return bytes_sent_[node]; }

  // True when all running members see a mean within `tolerance` of `mean`.
  bool AllSeeMean(double mean, double tolerance) const;

  // The member that aggregates the data centre of `node`.
  int AggregatorOf(int node) const;

  static core::PoolId Pool() { return core::PoolId("catalogue-model"); }

 private:
  void Start(int node, double early_report_threshold);

  membership::GossipNetwork* const network_;
  std::vector<std::unique_ptr<PoolLoadExchange>> exchanges_;
  std::vector<uint64_t> bytes_sent_;
};

}  // namespace wasabi::load

#endif  // TESTS_SUPPORT_GOSSIPNETWORK_EXCHANGE_FLEET_H_
