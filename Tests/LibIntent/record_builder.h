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
  // Starts a record of the plan `plan_id` with a stamp that is unique to the
  // plan.
  explicit RecordBuilder(const std::string& plan_id);

  // Replaces the stamp.
  RecordBuilder& Stamp(const std::string& writer, int64_t sequence);
  // Adds a change of `item`, based on its revision in `seen`.
  RecordBuilder& Set(const ConfigurationFold& seen,
                     const ItemKey& item,
                     const ItemValue& value);

  // Returns the encoded body of the record.
  std::string Build() const;

 private:
  ChangeRecord record_;
};

}  // namespace wasabi::intent

#endif  // TESTS_LIBINTENT_RECORD_BUILDER_H_
