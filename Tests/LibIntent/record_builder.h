// Builds change records for tests.

#ifndef TESTS_LIBINTENT_RECORD_BUILDER_H_
#define TESTS_LIBINTENT_RECORD_BUILDER_H_

#include <cstdint>
#include <string>

#include "LibIntent/configuration_fold.h"
#include "LibIntent/configuration_record.h"

namespace wasabi::intent {

class RecordBuilder {
 public:
  // A record of the plan `plan_id`, whose stamp is its own.
  explicit RecordBuilder(const std::string& plan_id);

  RecordBuilder& Stamp(const std::string& writer, int64_t sequence);
  // Changes `item` on the revision that `seen` shows.
  RecordBuilder& Set(const ConfigurationFold& seen,
                     const ItemKey& item,
                     const ItemValue& value);

  std::string Build() const;

 private:
  ChangeRecord record_;
};

}  // namespace wasabi::intent

#endif  // TESTS_LIBINTENT_RECORD_BUILDER_H_
