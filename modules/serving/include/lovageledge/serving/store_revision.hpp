#pragma once

#include <compare>
#include <cstdint>

namespace lovageledge {

/** Counts how often the platform's store has returned from a copy of itself, losing its latest writes. 0 if
    the store doesn't tell. */
enum class store_era : std::uint64_t {};

/**
    A position in the history of the platform's store.

    The revision numbers of a store that returns from a copy are given out again, so they are only comparable
    within one era. Every position of a newer era comes after all positions of the eras before it. Immutable;
    copies may be used in different threads.
*/
class store_revision {
public:
    /** Before everything that the store has ever contained. */
    constexpr store_revision() = default;
    constexpr store_revision(store_era era, std::uint64_t number) : era_{era}, number_{number} {}

    constexpr store_era era() const { return era_; }
    /** @returns the number as the store counts it in this era; 0 before the first change */
    constexpr std::uint64_t number() const { return number_; }
    /** @returns true if nothing of the era lies before this position, so that it identifies no object */
    constexpr bool is_none() const { return number_ == 0; }

    auto operator<=>(const store_revision&) const = default; // NOLINT(modernize-use-nullptr)

private:
    // The order of the members is the order of comparison.
    store_era era_{};
    std::uint64_t number_ = 0;
};

} // namespace lovageledge
