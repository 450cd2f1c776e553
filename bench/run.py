"""``make bench``: runs the main benchmarks, one after the other."""

from bench import cell, control_cost, packing, placement


def main() -> None:
    """Run each benchmark with its defaults."""
    placement.main()
    packing.main()
    control_cost.main()
    cell.main()


if __name__ == '__main__':
    main()
