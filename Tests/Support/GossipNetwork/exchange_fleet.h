// Runs a PoolLoadExchange on every member of a simulated GossipNetwork.

#ifndef TESTS_SUPPORT_GOSSIPNETWORK_EXCHANGE_FLEET_H_
#define TESTS_SUPPORT_GOSSIPNETWORK_EXCHANGE_FLEET_H_

#include <memory>
#include <vector>

#include "LibLoad/pool_load_exchange.h"
#include "Tests/Support/GossipNetwork/gossip_network.h"

namespace wasabi::load {

class ExchangeFleet {
 public:
  // Attaches to a running network and replaces its application and tick
  // handlers. `network` must outlive the fleet.
  ExchangeFleet(membership::GossipNetwork* network,
                double early_report_threshold);

  // Sets the demand that `node` measures itself.
  void SetLocalDemand(int node, const routing::PoolDemand& demand);
  // Returns the demand of all members as `node` sees it.
  routing::PoolDemand Total(int node) const;
  PoolLoadExchange& exchange(int node) { return *exchanges_[node]; }

  // Bytes that the exchange of `node` has sent, including datagram headers.
  uint64_t& bytes_sent(int node) { return bytes_sent_[node]; }

  // Returns true if the mean number of requests that each running member sees
  // is within `tolerance` of `mean`.
  bool AllSeeMean(double mean, double tolerance) const;

  // Returns the member that aggregates the data centre of `node`, according to
  // the member table of `node`, or -1 if there is none.
  int AggregatorOf(int node) const;

  // The pool that all members report.
  static core::PoolId Pool() { return core::PoolId("catalogue-model"); }

 private:
  void Start(int node, double early_report_threshold);

  membership::GossipNetwork* const network_;
  std::vector<std::unique_ptr<PoolLoadExchange>> exchanges_;
  std::vector<uint64_t> bytes_sent_;
};

}  // namespace wasabi::load

#endif  // TESTS_SUPPORT_GOSSIPNETWORK_EXCHANGE_FLEET_H_
