// Decides which lookups an admission level lets through: evenly, so that any run of lookups sees the share.
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
  double credit_ = 1;  // the first is let in unless the level is next to nothing
};

}  // namespace gorsemount::coordinator
