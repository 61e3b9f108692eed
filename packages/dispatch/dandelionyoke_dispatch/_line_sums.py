"""The sums of a linear regression of times by sizes."""

import attrs

# Sizes that differ by less than this share of their squares tell no slope.
MIN_SPREAD_SHARE = 0.001


@attrs.frozen
class LineSums:
    """Weighted sums; older samples fade by `scaled`."""

    count: float = 0.0
    sizes: float = 0.0
    times: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def scaled(self, factor: float) -> 'LineSums':
        """Return the sums with the weight of all samples multiplied."""
        return LineSums(*(factor * total for total in attrs.astuple(self)))

    def plus(self, size: float, took: float, weight: float = 1.0) -> 'LineSums':
        """Return the sums with one more sample."""
        added = (1.0, size, took, size * size, size * took)
        return LineSums(
            *(
                total + weight * term
                for total, term in zip(attrs.astuple(self), added, strict=True)
            )
        )

    @property
    def has_slope(self) -> bool:
        """Whether the sizes differ enough to tell a slope."""
        return self._spread > MIN_SPREAD_SHARE * self.count * self.squares

    @property
    def slope(self) -> float:
        """The time for each unit of size; at least 0."""
        product = self.count * self.products - self.sizes * self.times
        return max(0.0, product / self._spread)

    @property
    def intercept(self) -> float:
        """The time of size 0; at least 0."""
        return max(0.0, (self.times - self.slope * self.sizes) / self.count)

    @property
    def _spread(self) -> float:
        return self.count * self.squares - self.sizes**2
