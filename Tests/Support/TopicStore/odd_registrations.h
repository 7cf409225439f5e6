// Registrations as another program than an endpoint may write them.

#ifndef TESTS_SUPPORT_TOPICSTORE_ODD_REGISTRATIONS_H_
#define TESTS_SUPPORT_TOPICSTORE_ODD_REGISTRATIONS_H_

#include <string>
#include <vector>

#include "LibCore/random_source.h"

namespace wasabi::support {

// Returns the registration of an endpoint of pool "p", with the field `key` set
// to the JSON text `value`, or left out if `value` is empty.
std::string RegistrationWith(const std::string& key, const std::string& value);
// Returns a registration with all fields.
std::string WholeRegistration();

struct OddRegistration {
  std::string what;
  std::string text;
};

// Returns records that describe no usable endpoint.
std::vector<OddRegistration> OddRegistrations();

// Returns `text` with a few bytes replaced, inserted, removed or repeated.
std::string Mutate(std::string text, core::RandomSource* random);

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_TOPICSTORE_ODD_REGISTRATIONS_H_
