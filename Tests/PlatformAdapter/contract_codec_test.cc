#include "platform/contract_codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace wasabi::adapter {
namespace {

struct ContractCase {
  const char* name;
  std::vector<std::string> terms;
  bool load_control;
};

// Guards against load control in deployments that have not asked for it.
TEST_CASE("only the platform's own term switches load control on") {
  const ContractCase it = GENERATE(
      ContractCase{"no list", {}, false},
      ContractCase{"the term alone", {"pressure"}, true},
      ContractCase{"among terms of others", {"x", "pressure", "y"}, true},
      ContractCase{"unknown terms", {"x", "pressures", "press"}, false},
      ContractCase{"a placeholder left as it was", {"{{contracts}}"}, false});
  INFO(it.name);
  CHECK(DecodeContracts(it.terms).load_control == it.load_control);
}

}  // namespace
}  // namespace wasabi::adapter
