// Admits the given share of lookups at even intervals, so that any run of consecutive lookups sees about that
// share.
#pragma once

namespace gorsemount::coordinator {

class Admission {
 public:
  [[nodiscard]] bool admit(double level) {
    if (level >= 1) return true;
    credit_ += level > 0 ? level : 0;
    if (credit_ < 1) return false;
    credit_ -= 1;
    return true;
  }

 private:
  double credit_ = 1;  // admits the first lookup unless the level is close to 0
};

}  // namespace gorsemount::coordinator
