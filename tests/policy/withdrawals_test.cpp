// Withdrawals: which backends a proxy must be told to stop using.
#include "policy/withdrawals.hpp"

#include "helpers.hpp"

namespace gorsemount::testing {

namespace {

const Instant kStart = Instant::at_seconds(100);
const BackendId kFirst{1}, kSecond{2};

}  // namespace

TEST(Withdrawals, EachIsToldOnceUntilItIsReadyAgain) {
  Withdrawals withdrawals;
  withdrawals.withdraw(kFirst);
  const auto told = withdrawals.last_number();
  EXPECT_EQ(withdrawals.after(0), std::vector{kFirst});
  withdrawals.withdraw(kFirst);
  EXPECT_EQ(withdrawals.count_after(told), 0U);
  withdrawals.withdraw_gone(kStart, kFirst);
  EXPECT_EQ(withdrawals.count_after(told), 0U);
  withdrawals.withdraw(kSecond);
  EXPECT_EQ(withdrawals.after(told), std::vector{kSecond});
  withdrawals.restore(kFirst);
  EXPECT_EQ(withdrawals.after(0), std::vector{kSecond});
  withdrawals.withdraw(kFirst);
  EXPECT_EQ(withdrawals.count_after(told), 2U);
}

TEST(Withdrawals, OnlyBackendsThatAreGoneAreForgotten) {
  Withdrawals withdrawals;
  withdrawals.withdraw(kFirst);
  withdrawals.withdraw_gone(kStart, kSecond);
  withdrawals.forget_expired(kStart + Span::seconds(19));
  EXPECT_EQ(withdrawals.count_after(0), 2U);
  withdrawals.forget_expired(kStart + Span::seconds(21));
  EXPECT_EQ(withdrawals.after(0), std::vector{kFirst});
}

}  // namespace gorsemount::testing
