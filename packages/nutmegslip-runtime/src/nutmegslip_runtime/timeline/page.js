"use strict";
const filter = document.getElementById("filter");
const shown = document.getElementById("shown");
const rows = Array.from(document.querySelectorAll("tbody tr"));
const texts = rows.map((row) => row.textContent.toLowerCase());

function apply() {
  const words = filter.value.toLowerCase().split(/\s+/).filter(Boolean);
  let count = 0;
  rows.forEach((row, index) => {
    const keep = words.every((word) => texts[index].includes(word));
    row.hidden = !keep;
    document.getElementById("m" + index).style.display = keep ? "" : "none";
    count += keep ? 1 : 0;
  });
  shown.textContent = count + " of " + rows.length + " events";
}

filter.addEventListener("input", apply);
