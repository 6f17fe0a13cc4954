#ifndef DAISYWINCH_STATE_FAULT_LIST_H
#define DAISYWINCH_STATE_FAULT_LIST_H

#include <string>
#include <string_view>
#include <vector>

namespace daisywinch {

/// One thing wrong with a document: where, what, and how to put it right.
struct Fault {
  std::string file;
  /// JSON pointer (RFC 6901) of the value, or "line L, column C" where the
  /// text is not JSON.
  std::string place;
  std::string problem;
  std::string remedy;

  /// The fault as one line for a person.
  std::string ToString() const;
};

/// Collects every fault of a document instead of stopping at the first.
class FaultList {
 public:
  explicit FaultList(std::string_view file);

  void Add(std::string_view place,
           std::string_view problem,
           std::string_view remedy);

  const std::vector<Fault>& Faults() const { return this->faults; }
  bool empty() const { return this->faults.empty(); }

  /// All faults, a line each.
  std::string ToString() const;

 private:
  std::string file;
  std::vector<Fault> faults;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_FAULT_LIST_H
