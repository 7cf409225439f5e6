#include "LibForwarding/stream_origin.h"

#include "LibCore/hash.h"

namespace wasabi::forwarding {

StreamKey KeyOfStream(const core::OrganisationId& organisation,
                      const core::RequestId& first_attempt) {
  return {core::CombineHashes(organisation.Hash(), first_attempt.Hash())};
}

StreamOrigin OriginOf(const Endpoint& endpoint) {
  return {core::CombineHashes(endpoint.pool.Hash(),
                              core::StableHash(endpoint.software_version))};
}

}  // namespace wasabi::forwarding
