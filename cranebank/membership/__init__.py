"""Who is there: backends' records, merged by whoever hears of them, and views of the fleet."""
