#include "AccountLimitMessages.h"

#include "Pack.h"

namespace cicada {

using Internal::packFields;
using Internal::unpackFields;

namespace {

    using PackedResources = std::tuple<int64_t, int64_t, int64_t>;
    using PackedHolding = std::tuple<std::string, uint32_t, PackedResources, PackedResources, PackedResources, bool>;
    using PackedLoan = std::tuple<std::string, PackedResources>;

    /** No fleet has this much of a resource. The bound keeps sums of amounts from overflowing. */
    constexpr int64_t maxAmount = int64_t { 1 } << 50;

    PackedResources pack(const Resources& r) { return { r.cpuMillis, r.memoryMiB, r.accelerators }; }

    Resources unpack(const PackedResources& packed)
    {
        return { std::get<0>(packed), std::get<1>(packed), std::get<2>(packed) };
    }

    bool isAmount(const Resources& r)
    {
        const auto isValid = [](int64_t amount) { return amount >= 0 && amount <= maxAmount; };
        return isValid(r.cpuMillis) && isValid(r.memoryMiB) && isValid(r.accelerators);
    }

    Error invalidAmount(absl::string_view what)
    {
        return Error { ErrorKind::MalformedMessage, absl::StrCat("An ", what, " message has an invalid amount."),
            "Check that all entries run the same version." };
    }

} // namespace

std::string encode(const AccountQuestion& m) { return packFields(m.cell, m.holderCell, m.holderToken); }

std::string encode(const AccountReport& m)
{
    std::vector<PackedHolding> accounts;
    for (const AccountHolding& a : m.accounts)
        accounts.emplace_back(a.account, a.limitDigest, pack(a.held), pack(a.excess), pack(a.wanted), a.isIndivisible);
    return packFields(m.cell, m.cellToken, m.holderCell, m.holderToken, m.number, m.isWhole, accounts);
}

std::string encode(const AccountGrant& m)
{
    std::vector<PackedLoan> loans;
    for (const AccountLoan& loan : m.loans)
        loans.emplace_back(loan.account, pack(loan.amount));
    return packFields(m.cell, m.cellToken, m.holderCell, m.holderToken, m.number, loans);
}

Result<AccountQuestion> decodeAccountQuestion(absl::string_view bytes)
{
    AccountQuestion m;
    BOOST_OUTCOME_TRY(unpackFields(bytes, accountQuestionService, m.cell, m.holderCell, m.holderToken));
    return m;
}

Result<AccountReport> decodeAccountReport(absl::string_view bytes)
{
    std::vector<PackedHolding> accounts;
    AccountReport m;
    BOOST_OUTCOME_TRY(unpackFields(
        bytes, accountReportService, m.cell, m.cellToken, m.holderCell, m.holderToken, m.number, m.isWhole, accounts));
    for (auto& [account, digest, held, excess, wanted, isIndivisible] : accounts) {
        m.accounts.push_back(
            { std::move(account), digest, unpack(held), unpack(excess), unpack(wanted), isIndivisible });
        if (!isAmount(m.accounts.back().held) || !isAmount(m.accounts.back().excess)
            || !isAmount(m.accounts.back().wanted))
            return invalidAmount(accountReportService);
    }
    return m;
}

Result<AccountGrant> decodeAccountGrant(absl::string_view bytes)
{
    std::vector<PackedLoan> loans;
    AccountGrant m;
    BOOST_OUTCOME_TRY(
        unpackFields(bytes, accountGrantService, m.cell, m.cellToken, m.holderCell, m.holderToken, m.number, loans));
    for (auto& [account, amount] : loans) {
        m.loans.push_back({ std::move(account), unpack(amount) });
        if (!isAmount(m.loans.back().amount))
            return invalidAmount(accountGrantService);
    }
    return m;
}

} // namespace cicada
