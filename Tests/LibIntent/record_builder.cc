#include "Tests/LibIntent/record_builder.h"

#include "LibCore/text.h"

namespace wasabi::intent {

RecordBuilder::RecordBuilder(const std::string& plan_id) {
  record_.stamp = {fmt::format("writer-{}", plan_id), 1};
  record_.plan_id = plan_id;
  record_.operator_name = "operator";
}

RecordBuilder& RecordBuilder::Stamp(const std::string& writer,
                                    int64_t sequence) {
  record_.stamp = {writer, sequence};
  return *this;
}

RecordBuilder& RecordBuilder::Set(const ConfigurationFold& seen,
                                  const ItemKey& item,
                                  const ItemValue& value) {
  record_.base[item] = seen.RevisionOf(item);
  record_.changes.push_back({item, value});
  return *this;
}

std::string RecordBuilder::Build() const {
  return EncodeRecord(record_);
}

}  // namespace wasabi::intent
